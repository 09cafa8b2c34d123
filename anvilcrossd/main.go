// Command anvilcrossd is the daemon of an entry instance. The subcommand serve
// offers the interface of anvilcross itself; the subcommand gateway serves on a
// users' platform, in front of its services.
package main

import (
	"os"

	"anvilcross/anvilcrossd/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:])) }

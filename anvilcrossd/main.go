// Command anvilcrossd is the daemon that runs on every entry instance.
package main

import (
	"os"

	"anvilcross/anvilcrossd/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:])) }

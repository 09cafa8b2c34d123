// Command anvilstandin simulates the systems around anvilcross: the platform,
// model engines, stage pools and plain services.
package main

import (
	"os"

	"anvilcross/anvilstandin/command"
)

func main() { os.Exit(command.Main(os.Args[1:])) }

// Command anvilstandin plays the systems that anvilcross meets: the platform,
// model engines, stage pools and plain services.
package main

import (
	"os"

	"anvilcross/anvilstandin/command"
)

func main() { os.Exit(command.Main(os.Args[1:])) }

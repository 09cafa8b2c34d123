// Command anvilcross is the operators' command line.
package main

import (
	"os"

	"anvilcross/anvilcross/command"
)

func main() { os.Exit(command.Main(os.Args[1:])) }

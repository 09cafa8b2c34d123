// Command anvilload sends load to a running deployment, checks every answer
// against what the stand-ins must have returned, and measures.
package main

import (
	"os"

	"anvilcross/anvilload/command"
)

func main() { os.Exit(command.Main(os.Args[1:])) }

// Command gooseberryshed is the operators' command line.
package main

import (
	"os"

	"github.com/gooseberryshed/gooseberryshed/cli"
)

func main() { os.Exit(cli.Execute(cli.New())) }

// Command gooseberryshed is the operators' command line.
package main

import (
	"os"

	"github.com/gooseberryshed/gooseberryshed/cli"
	"github.com/gooseberryshed/gooseberryshed/demo"
)

func main() { os.Exit(cli.Execute(cli.New(demo.Command()))) }

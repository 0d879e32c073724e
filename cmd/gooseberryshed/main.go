// Command gooseberryshed is the command-line tool for operators.
package main

import (
	"os"

	"github.com/gooseberryshed/gooseberryshed/cli"
	"github.com/gooseberryshed/gooseberryshed/demo"
)

func main() { os.Exit(cli.Execute(cli.New(demo.Command()))) }

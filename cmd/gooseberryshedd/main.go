// Command gooseberryshedd is the proxy daemon that runs on each host next to its
// targets.
package main

import (
	"os"

	"github.com/gooseberryshed/gooseberryshed/daemon"
	"github.com/gooseberryshed/gooseberryshed/hostd"
)

func main() { os.Exit(daemon.Main(hostd.Command())) }

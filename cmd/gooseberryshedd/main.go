// Command gooseberryshedd is the daemon that runs beside the targets of a host.
package main

import (
	"os"

	"github.com/gooseberryshed/gooseberryshed/daemon"
	"github.com/gooseberryshed/gooseberryshed/hostd"
)

func main() { os.Exit(daemon.Main(hostd.Command())) }

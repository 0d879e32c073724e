// Package harness runs a whole fleet as real processes for a test: daemons over
// three data centres, a stand-in target beside each, a stand-in platform, and
// callers that record what they saw. All links between the processes go through
// package fabric.
package harness

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

// binaries are built by Build and started by Start.
var binaries struct {
	daemon, cli, platform, target string
}

const module = "github.com/gooseberryshed/gooseberryshed"

// Build builds the binaries into dir. TestMain calls it once.
func Build(dir string) error {
	path := func(name string) string { return filepath.Join(dir, name) }
	binaries.daemon = path("gooseberryshedd")
	binaries.cli = path("gooseberryshed")
	binaries.platform = path("standin-platform")
	binaries.target = path("standin-target")
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		module+"/cmd/gooseberryshedd", module+"/cmd/gooseberryshed",
		module+"/cmd/standin-platform", module+"/cmd/standin-target")
	cmd.Stderr = os.Stderr
	return errors.Wrap(cmd.Run(), "go build; the go command must be on the path")
}

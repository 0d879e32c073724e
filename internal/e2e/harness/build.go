// Package harness runs a complete fleet as separate processes for a test:
// daemons in three data centres, a stand-in target for each, a stand-in platform,
// and callers that record their results. The links between hosts and to the
// platform go through package fabric.
package harness

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

// binaries holds the paths of the binaries that Build creates.
var binaries struct {
	daemon, cli, platform, target string
}

const module = "github.com/gooseberryshed/gooseberryshed"

// Build builds the binaries into dir. It must be called once, before Start.
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
	return errors.Wrap(cmd.Run(), "go build (is the go command in PATH?)")
}

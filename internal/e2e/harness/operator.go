package harness

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Service is the name of the service that all targets provide.
const Service = "orders"

// workspaces are the default workspaces, each with the keys k1 and k2.
var workspaces = []string{"w1", "w2", "w3"}

func Secret(workspace, keyID string) string { return "secret-of-" + workspace + "-" + keyID }

// Secrets returns all secrets that targets must never see: those of the keys and
// the cluster secret.
func Secrets() []string {
	var all []string
	for _, ws := range workspaces {
		all = append(all, Secret(ws, "k1"), Secret(ws, "k2"))
	}
	return append(all, clusterSecret)
}

// WorkspaceSpec replaces the settings of a default workspace.
type WorkspaceSpec struct {
	Rate  string
	Burst int
	// Keys defaults to k1 and k2.
	Keys []string
}

// ServiceSpec holds YAML lines of the service definition, without indentation.
type ServiceSpec []string

// DataCentreSection returns the section of the data centres. Those in out have
// the state "out".
func DataCentreSection(out ...string) string {
	var b strings.Builder
	b.WriteString("  - name: places\n    team: operations\n    datacentres:\n")
	for i := range dataCentreCount {
		name, state := fmt.Sprintf("dc%d", i+1), "in"
		for _, o := range out {
			if o == name {
				state = "out"
			}
		}
		fmt.Fprintf(&b, "      - {name: %s, region: r1, state: %s}\n", name, state)
	}
	return b.String()
}

// WorkspaceSection returns the section of the default workspaces.
func WorkspaceSection(changed map[string]WorkspaceSpec) string {
	var b strings.Builder
	b.WriteString("  - name: customers\n    team: sales\n    workspaces:\n")
	for _, ws := range workspaces {
		spec, ok := changed[ws]
		if !ok {
			spec = WorkspaceSpec{Rate: "2000/s", Burst: 2000}
		}
		if spec.Keys == nil {
			spec.Keys = []string{"k1", "k2"}
		}
		fmt.Fprintf(&b, "      - name: %s\n        rate: %s\n        burst: %d\n        keys:\n", ws, spec.Rate, spec.Burst)
		for _, k := range spec.Keys {
			sum := sha256.Sum256([]byte(Secret(ws, k)))
			fmt.Fprintf(&b, "          - {id: %s-%s, sha256: %s}\n", ws, k, hex.EncodeToString(sum[:]))
		}
	}
	return b.String()
}

// NewWorkspaceSection returns a section with an additional workspace that has the
// key k1.
func NewWorkspaceSection(name string) string {
	sum := sha256.Sum256([]byte(Secret(name, "k1")))
	return fmt.Sprintf("  - name: %s\n    team: sales\n    workspaces:\n"+
		"      - name: %s\n        rate: 2000/s\n        burst: 2000\n"+
		"        keys: [{id: %s-k1, sha256: %s}]\n", name, name, name, hex.EncodeToString(sum[:]))
}

// RouteSection returns the section of the service and its routes: /orders for all
// workspaces, /w1 for w1 only and /open without authentication.
func RouteSection(spec ServiceSpec) string {
	if spec == nil {
		spec = ServiceSpec{"timeout: 8s"}
	}
	var b strings.Builder
	b.WriteString("  - name: shop\n    team: shop\n    services:\n      - name: " + Service + "\n")
	for _, line := range spec {
		b.WriteString("        " + line + "\n")
	}
	b.WriteString("    routes:\n")
	fmt.Fprintf(&b, "      - {path: /orders, service: %s}\n", Service)
	fmt.Fprintf(&b, "      - {path: /w1, service: %s, workspaces: [w1]}\n", Service)
	fmt.Fprintf(&b, "      - {path: /open, service: %s, access: open}\n", Service)
	return b.String()
}

// Config returns the complete configuration document.
func Config(changed map[string]WorkspaceSpec, spec ServiceSpec) string {
	return "sections:\n" + DataCentreSection() + WorkspaceSection(changed) + RouteSection(spec)
}

// WriteFile creates a file for use by the CLI and returns its path.
func (f *Fleet) WriteFile(name, content string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	f.requireNoError(os.WriteFile(path, []byte(content), 0o600))
	return path
}

// CLI runs the gooseberryshed command and returns its output and exit status.
func (f *Fleet) CLI(args ...string) (string, int) {
	f.t.Helper()
	cmd := exec.Command(binaries.cli, args...)
	cmd.Env = append(os.Environ(), "GOOSEBERRYSHED_PLATFORM=http://"+f.Platform.Addrs["address"])
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		f.t.Errorf("gooseberryshed %v: %v", args, err)
		return string(out), -1
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// MustCLI is like CLI but fails the test unless the command succeeds.
func (f *Fleet) MustCLI(args ...string) string {
	f.t.Helper()
	out, status := f.CLI(args...)
	if status != 0 {
		f.t.Fatalf("gooseberryshed %v: exit status %d\n%s", args, status, out)
	}
	return out
}

// WriteChange creates a file that replaces sections of the current configuration,
// based on its revision.
func (f *Fleet) WriteChange(name string, sections ...string) string {
	f.t.Helper()
	base, _, _ := strings.Cut(f.MustCLI("config", "show"), "\n")
	return f.WriteFile(name, base+"\nsections:\n"+strings.Join(sections, ""))
}

// Apply replaces sections and returns the time at which the change was accepted.
func (f *Fleet) Apply(sections ...string) time.Time {
	f.t.Helper()
	f.MustCLI("config", "apply", f.WriteChange("change.yaml", sections...))
	return time.Now()
}

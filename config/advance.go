package config

import (
	"encoding/hex"
	"slices"
	"strings"
)

// Advance returns the snapshot after the patches of one accepted change. It
// copies only the parts of the indexes that change, so its cost grows with the
// change and not with the document; see BenchmarkAdvance. Patches are trusted:
// they were validated before they were accepted, and a daemon must not refuse
// what has been accepted.
func (s *Snapshot) Advance(revision uint64, patches []Patch) *Snapshot {
	e := newSnapshotEditor(s, patches)
	for i := range patches {
		e.drop(&patches[i])
	}
	for i := range patches {
		e.put(&patches[i].Put)
	}
	return e.finish(revision)
}

// snapshotEditor builds a changed copy of a snapshot. All that a change takes
// away goes first, so that items can move between sections.
type snapshotEditor struct {
	old         *Snapshot
	depth       int
	routes      *shardsEditor[string, *Route]
	keys        *shardsEditor[Digest, KeyRef]
	workspaces  *shardsEditor[string, *Workspace]
	services    *shardsEditor[string, *Service]
	dataCentres []DataCentre
}

func newSnapshotEditor(s *Snapshot, patches []Patch) *snapshotEditor {
	var routes, workspaces, services, keys int
	for i := range patches {
		put := &patches[i].Put
		routes += len(put.Routes)
		workspaces += len(put.Workspaces)
		services += len(put.Services)
		for j := range put.Workspaces {
			keys += len(put.Workspaces[j].Keys)
		}
	}
	return &snapshotEditor{
		old:         s,
		depth:       s.depth,
		routes:      edit(s.routes, routes),
		keys:        edit(s.keys, keys),
		workspaces:  edit(s.workspaces, workspaces),
		services:    edit(s.services, services),
		dataCentres: slices.Clone(s.dataCentres),
	}
}

func (e *snapshotEditor) finish(revision uint64) *Snapshot {
	slices.SortFunc(e.dataCentres, func(a, b DataCentre) int { return strings.Compare(a.Name, b.Name) })
	return &Snapshot{
		revision:    revision,
		depth:       e.depth,
		routes:      e.routes.next,
		keys:        e.keys.next,
		workspaces:  e.workspaces.next,
		services:    e.services.next,
		dataCentres: e.dataCentres,
	}
}

// drop removes what the patch drops and the old form of what it puts.
func (e *snapshotEditor) drop(p *Patch) {
	for _, name := range p.Drop.DataCentres {
		e.dropDataCentre(name)
	}
	for i := range p.Put.DataCentres {
		e.dropDataCentre(p.Put.DataCentres[i].Name)
	}
	for _, name := range p.Drop.Workspaces {
		e.dropWorkspace(name)
	}
	for i := range p.Put.Workspaces {
		e.dropWorkspace(p.Put.Workspaces[i].Name)
	}
	for _, name := range p.Drop.Services {
		e.services.drop(name)
	}
	for _, path := range p.Drop.Routes {
		e.routes.drop(path)
	}
}

func (e *snapshotEditor) dropDataCentre(name string) {
	e.dataCentres = slices.DeleteFunc(e.dataCentres, func(d DataCentre) bool { return d.Name == name })
}

// dropWorkspace removes a workspace with its keys.
func (e *snapshotEditor) dropWorkspace(name string) {
	w, ok := e.old.Workspace(name)
	if !ok {
		return
	}
	for i := range w.Keys {
		if digest, ok := w.Keys[i].digest(); ok {
			e.keys.drop(digest)
		}
	}
	e.workspaces.drop(name)
}

func (e *snapshotEditor) put(items *Items) {
	for _, d := range items.DataCentres {
		e.dataCentres = append(e.dataCentres, d.withDefaults())
	}
	services := make([]Service, len(items.Services))
	for i, v := range items.Services {
		services[i] = v.withDefaults()
		e.services.put(v.Name, &services[i])
	}
	workspaces := make([]Workspace, len(items.Workspaces))
	for i, w := range items.Workspaces {
		workspaces[i] = w.withDefaults()
		e.workspaces.put(w.Name, &workspaces[i])
		e.putKeys(&workspaces[i])
	}
	routes := make([]Route, len(items.Routes))
	for i, r := range items.Routes {
		routes[i] = r.withDefaults()
		e.routes.put(r.Path, &routes[i])
		e.depth = max(e.depth, strings.Count(r.Path, "/"))
	}
}

func (e *snapshotEditor) putKeys(w *Workspace) {
	for i := range w.Keys {
		if digest, ok := w.Keys[i].digest(); ok {
			e.keys.put(digest, KeyRef{ID: w.Keys[i].ID, Workspace: w.Name})
		}
	}
}

// digest decodes the key's digest; ok is false when it is malformed.
func (k *Key) digest() (digest Digest, ok bool) {
	if len(k.SHA256) != hex.EncodedLen(digestBytes) {
		return digest, false
	}
	_, err := hex.Decode(digest[:], []byte(k.SHA256))
	return digest, err == nil
}

package config

import (
	"encoding/hex"
	"slices"
	"strings"
)

// Advance returns the snapshot after applying the patches of one accepted change.
// It copies only the shards of the indexes that change, so its cost grows with
// the change and not with the document; see BenchmarkAdvance. Patches are not
// validated again: they were validated before they were accepted, and a daemon
// must not reject an accepted change.
func (s *Snapshot) Advance(revision uint64, patches []Patch) *Snapshot {
	e := newSnapshotEditor(s, patches)
	for i := range patches {
		e.remove(&patches[i])
	}
	for i := range patches {
		e.put(&patches[i].Put)
	}
	return e.finish(revision)
}

// snapshotEditor builds a modified copy of a snapshot. All removals of a change
// are applied before its additions, so that items can move between sections.
type snapshotEditor struct {
	old         *Snapshot
	maxDepth    int
	routes      *shardedMapEditor[string, *Route]
	keys        *shardedMapEditor[Digest, KeyRef]
	workspaces  *shardedMapEditor[string, *Workspace]
	services    *shardedMapEditor[string, *Service]
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
		maxDepth:    s.maxDepth,
		routes:      newShardedMapEditor(s.routes, routes),
		keys:        newShardedMapEditor(s.keys, keys),
		workspaces:  newShardedMapEditor(s.workspaces, workspaces),
		services:    newShardedMapEditor(s.services, services),
		dataCentres: slices.Clone(s.dataCentres),
	}
}

func (e *snapshotEditor) finish(revision uint64) *Snapshot {
	slices.SortFunc(e.dataCentres, func(a, b DataCentre) int { return strings.Compare(a.Name, b.Name) })
	return &Snapshot{
		revision:    revision,
		maxDepth:    e.maxDepth,
		routes:      e.routes.next,
		keys:        e.keys.next,
		workspaces:  e.workspaces.next,
		services:    e.services.next,
		dataCentres: e.dataCentres,
	}
}

// remove removes the items that the patch drops, and the old version of those
// that it puts.
func (e *snapshotEditor) remove(p *Patch) {
	for _, name := range p.Drop.DataCentres {
		e.removeDataCentre(name)
	}
	for i := range p.Put.DataCentres {
		e.removeDataCentre(p.Put.DataCentres[i].Name)
	}
	for _, name := range p.Drop.Workspaces {
		e.removeWorkspace(name)
	}
	for i := range p.Put.Workspaces {
		e.removeWorkspace(p.Put.Workspaces[i].Name)
	}
	for _, name := range p.Drop.Services {
		e.services.remove(name)
	}
	for _, path := range p.Drop.Routes {
		e.routes.remove(path)
	}
}

func (e *snapshotEditor) removeDataCentre(name string) {
	e.dataCentres = slices.DeleteFunc(e.dataCentres, func(d DataCentre) bool { return d.Name == name })
}

// removeWorkspace removes a workspace with its keys.
func (e *snapshotEditor) removeWorkspace(name string) {
	w, ok := e.old.Workspace(name)
	if !ok {
		return
	}
	for i := range w.Keys {
		if digest, ok := w.Keys[i].digest(); ok {
			e.keys.remove(digest)
		}
	}
	e.workspaces.remove(name)
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
		e.maxDepth = max(e.maxDepth, strings.Count(r.Path, "/"))
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

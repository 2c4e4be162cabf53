package cpworkspace

import "github.com/clementineport/clementineport"

// Index finds workspaces by key and by name. It is immutable and safe for concurrent use.
type Index struct {
	required bool
	keys     map[clementineport.KeyHash]*clementineport.Workspace
	names    map[clementineport.WorkspaceID]*clementineport.Workspace
}

// NewIndex returns the index of the workspaces of a configuration. If several workspaces have the same key or the same name,
// the first of them is found, so that all VMs find the same one. The workspaces must not change afterwards.
func NewIndex(workspaces []clementineport.Workspace) *Index {
	n := 0
	for i := range workspaces {
		n += len(workspaces[i].Keys)
	}
	x := &Index{
		required: len(workspaces) > 0,
		keys:     make(map[clementineport.KeyHash]*clementineport.Workspace, n),
		names:    make(map[clementineport.WorkspaceID]*clementineport.Workspace, len(workspaces)),
	}
	for i := range workspaces {
		w := &workspaces[i]
		if w.Name == "" {
			continue // its requests could not be told from those without a workspace
		}
		if x.names[w.Name] == nil {
			x.names[w.Name] = w
		}
		for _, hash := range w.Keys {
			if x.keys[hash] == nil {
				x.keys[hash] = w
			}
		}
	}
	return x
}

// Required reports whether the configuration has workspaces, so that requests need keys.
func (x *Index) Required() bool { return x.required }

// Find returns the workspace of the key that a request presents, or nil if there is none.
func (x *Index) Find(key Presented) *clementineport.Workspace {
	if key.State != KeyPresented {
		return nil
	}
	return x.keys[key.Hash]
}

// Workspace returns the workspace with a name, or nil if there is none.
func (x *Index) Workspace(name clementineport.WorkspaceID) *clementineport.Workspace {
	return x.names[name]
}

package state

import "strings"

// Path returns "model/version", the key of a version in a ConfigChange. It is
// not named String because structs that embed a ReplicaKey would then be
// printed as their key alone.
func (k ReplicaKey) Path() string { return string(k.Model) + "/" + string(k.Version) }

// ParseReplicaKey parses "model/version"; ok is false for any other form.
func ParseReplicaKey(text string) (key ReplicaKey, ok bool) {
	model, version, found := strings.Cut(text, "/")
	if !found || model == "" || version == "" {
		return ReplicaKey{}, false
	}
	return ReplicaKey{Model: ModelName(model), Version: VersionName(version)}, true
}

// Key returns the key of v.
func (v ModelVersion) Key() ReplicaKey { return ReplicaKey{Model: v.Model, Version: v.Name} }

// Key returns the name that a drain has in a ConfigChange: "upstream/<name>"
// or "host/<name>".
func (d Drain) Key() string {
	if d.Host != "" {
		return "host/" + string(d.Host)
	}
	return "upstream/" + string(d.Upstream)
}

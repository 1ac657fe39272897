package state

import "strings"

// Path returns "model/version", the key of a version. It is not a String
// method, because structs that embed a ReplicaKey would print as their key.
func (k ReplicaKey) Path() string { return string(k.Model) + "/" + string(k.Version) }

// ParseReplicaKey reads "model/version".
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

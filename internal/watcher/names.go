package watcher

import (
	"crypto/rand"
	"strings"
)

// NewInstanceName returns an instance name that is unique per process: the name in
// the settings, a dot and a random suffix.
func NewInstanceName(name string) string { return name + "." + strings.ToLower(rand.Text()[:10]) }

// BaseName returns the name in the settings that belongs to an instance name.
func BaseName(instance string) string {
	if i := strings.LastIndexByte(instance, '.'); i > 0 {
		return instance[:i]
	}
	return instance
}

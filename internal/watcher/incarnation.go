package watcher

import (
	"crypto/rand"
	"strings"
)

// Incarnate returns an instance name that is unique per process: the name in the
// settings, a dot and a random suffix.
func Incarnate(name string) string { return name + "." + strings.ToLower(rand.Text()[:10]) }

// Base returns the name in the settings that belongs to an instance name.
func Base(instance string) string {
	if i := strings.LastIndexByte(instance, '.'); i > 0 {
		return instance[:i]
	}
	return instance
}

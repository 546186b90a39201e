package checker

import (
	"net"
	"net/url"
)

// Address records an error unless addr has the form host:port.
func Address(f *Validator, key, addr string) {
	_, _, err := net.SplitHostPort(addr)
	f.Require(err == nil, key, "is %q, want host:port", addr)
}

// URL records an error unless text is an absolute http or https URL.
func URL(f *Validator, key, text string) {
	u, err := url.Parse(text)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	f.Require(ok, key, "is %q, want a URL like \"http://127.0.0.1:8000\"", text)
}

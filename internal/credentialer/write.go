package credentialer

import (
	"fmt"
	"os"
)

const privateMode = 0o600

// Write creates both files and replaces none.
func (p Pair) Write(cert, key string) error {
	if err := create(key, p.Key); err != nil {
		return err
	}
	if err := create(cert, p.Cert); err != nil {
		_ = os.Remove(key) // only this call can have created it
		return err
	}
	return nil
}

// Replace writes both files over former ones. A process that reads in between
// finds a key and a certificate that do not fit, and keeps the former pair.
func (p Pair) Replace(cert, key string) error {
	for _, file := range []struct {
		name string
		data []byte
	}{{key, p.Key}, {cert, p.Cert}} {
		next := file.name + ".new"
		_ = os.Remove(next) // of a replacement that was broken off
		if err := create(next, file.data); err != nil {
			return err
		}
		if err := os.Rename(next, file.name); err != nil {
			return fmt.Errorf("replace %s: %w", file.name, err)
		}
	}
	return nil
}

func create(name string, data []byte) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateMode)
	if err != nil {
		return fmt.Errorf("create credentials: %w", err)
	}
	_, err = f.Write(data)
	if closing := f.Close(); err == nil {
		err = closing
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}

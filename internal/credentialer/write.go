package credentialer

import (
	"fmt"
	"os"
)

const privateFileMode = 0o600

// Write creates both files. It fails if one of them exists.
func (p Pair) Write(cert, key string) error {
	if err := createFile(key, p.Key); err != nil {
		return err
	}
	if err := createFile(cert, p.Cert); err != nil {
		_ = os.Remove(key) // created by this call, because createFile never overwrites
		return err
	}
	return nil
}

// Replace replaces both files, each atomically. A process that reads them between the
// two renames finds a key and a certificate that do not match, and keeps the
// previously loaded pair.
func (p Pair) Replace(cert, key string) error {
	for _, file := range []struct {
		name string
		data []byte
	}{{key, p.Key}, {cert, p.Cert}} {
		temp := file.name + ".new"
		_ = os.Remove(temp) // left behind by an interrupted replacement
		if err := createFile(temp, file.data); err != nil {
			return err
		}
		if err := os.Rename(temp, file.name); err != nil {
			return fmt.Errorf("replace %s: %w", file.name, err)
		}
	}
	return nil
}

func createFile(name string, data []byte) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateFileMode)
	if err != nil {
		return fmt.Errorf("create credentials: %w", err)
	}
	_, err = f.Write(data)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}

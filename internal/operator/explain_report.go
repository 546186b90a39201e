package operator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"daisylane/internal/analyzer"
	"daisylane/internal/renderer"
)

// writeReport writes the page about the day of a log.
func (c *explain) writeReport() (err error) {
	switch {
	case c.Log == "" || c.Socket != "" || c.Args.Request != "":
		return fmt.Errorf("%w: --report needs --log FILE, without REQUEST and --socket", errUsage)
	case c.Late <= 0:
		return fmt.Errorf("%w: --late must be positive", errUsage)
	}
	f, err := openLog(c.Log)
	if err != nil {
		return err
	}
	defer f.Close()
	day, err := analyzer.Summarize(f, analyzer.WithLate(c.Late))
	if err != nil {
		return err
	}
	return writeWhole(c.Report, func(w io.Writer) error { return renderer.Render(w, day) })
}

// openLog opens a log that can be read twice. What is not a regular file, such as standard
// input or a pipe, is copied to a temporary file without a name.
func openLog(name string) (*os.File, error) {
	if name == stdinName {
		return copyLog(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("%w: open log: %w", errUsage, err)
	}
	info, err := f.Stat()
	if err == nil && info.Mode().IsRegular() {
		return f, nil
	}
	defer f.Close()
	if err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return copyLog(f)
}

func copyLog(r io.Reader) (*os.File, error) {
	f, err := os.CreateTemp("", "daisylane-log-*")
	if err != nil {
		return nil, fmt.Errorf("copy log: %w", err)
	}
	err = os.Remove(f.Name())
	if err == nil {
		_, err = io.Copy(f, r)
	}
	if err == nil {
		_, err = f.Seek(0, io.SeekStart)
	}
	if err != nil {
		return nil, fmt.Errorf("read log: %w", errors.Join(err, f.Close()))
	}
	return f, nil
}

// writeWhole writes a file whole or not at all. The file is readable for its owner only,
// because logs contain data sent by clients.
func writeWhole(name string, write func(io.Writer) error) error {
	f, err := os.CreateTemp(filepath.Dir(name), "."+filepath.Base(name)+"-*")
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	buf := bufio.NewWriter(f)
	err = write(buf)
	if err == nil {
		err = buf.Flush()
	}
	if err == nil {
		err = f.Sync()
	}
	err = errors.Join(err, f.Close())
	if err == nil {
		err = os.Rename(f.Name(), name)
	}
	if err != nil {
		return fmt.Errorf("write report: %w", errors.Join(err, os.Remove(f.Name())))
	}
	return nil
}

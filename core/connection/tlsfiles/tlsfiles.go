// Package tlsfiles serves TLS from a certificate and a key file and takes new
// ones into use when the files change.
//
// # Usage
//
//	files, err := tlsfiles.New(certificatePath, keyPath)
//	server.TLSConfig = files.Config()
//	err = files.Reload() // from time to time
package tlsfiles

import (
	"crypto/tls"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Files is a certificate and its key on disk.
type Files struct {
	certificatePath string
	keyPath         string
	current         atomic.Pointer[tls.Certificate]
	changed         time.Time
}

// New reads both files.
func New(certificatePath, keyPath string) (*Files, error) {
	files := &Files{certificatePath: certificatePath, keyPath: keyPath}
	if _, err := files.Reload(); err != nil {
		return nil, err
	}
	return files, nil
}

// Config returns a configuration that always serves the latest certificate.
func (files *Files) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return files.current.Load(), nil
		},
	}
}

// Reload reads the files again when they have changed, and tells whether it
// did. After an error the earlier certificate stays in use. One goroutine
// calls it at a time.
func (files *Files) Reload() (bool, error) {
	changed, err := files.lastChange()
	if err != nil {
		return false, err
	}
	if changed.Equal(files.changed) {
		return false, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.certificatePath, files.keyPath)
	if err != nil {
		return false, errors.Wrapf(err, "load certificate %s", files.certificatePath)
	}
	files.current.Store(&certificate)
	files.changed = changed
	return true, nil
}

func (files *Files) lastChange() (time.Time, error) {
	var latest time.Time
	for _, path := range []string{files.certificatePath, files.keyPath} {
		info, err := os.Stat(path)
		if err != nil {
			return time.Time{}, errors.Wrap(err, "look at TLS file")
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

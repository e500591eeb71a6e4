// Package tlsfiles serves TLS with a certificate and a key from files and reloads
// them when the files change.
//
// # Usage
//
//	files, err := tlsfiles.New(certificatePath, keyPath)
//	server.TLSConfig = files.Config()
//	reloaded, err := files.Reload() // at intervals
package tlsfiles

import (
	"crypto/tls"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Files holds the paths of a certificate and its key, and the pair loaded last.
type Files struct {
	certificatePath string
	keyPath         string
	current         atomic.Pointer[tls.Certificate]
	loadedModTime   time.Time
}

// New loads the certificate and key, and returns an error when that fails.
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

// Reload loads the files again when their modification time has changed, and
// returns true when it did. After an error the earlier certificate stays in use.
// It must not be called concurrently.
func (files *Files) Reload() (bool, error) {
	modTime, err := files.latestModTime()
	if err != nil {
		return false, err
	}
	if modTime.Equal(files.loadedModTime) {
		return false, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.certificatePath, files.keyPath)
	if err != nil {
		return false, errors.Wrapf(err, "load certificate %s", files.certificatePath)
	}
	files.current.Store(&certificate)
	files.loadedModTime = modTime
	return true, nil
}

func (files *Files) latestModTime() (time.Time, error) {
	var latest time.Time
	for _, path := range []string{files.certificatePath, files.keyPath} {
		info, err := os.Stat(path)
		if err != nil {
			return time.Time{}, errors.Wrap(err, "stat TLS file")
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

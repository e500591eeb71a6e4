package tlsfiles_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"carobline.dev/core/connection/tlsfiles"
)

// write creates a self-signed certificate and key file. The modification time of
// the files follows from the serial number, so that each pair has its own.
func write(t *testing.T, folder string, serial int64) (certificatePath, keyPath string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour)}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certificatePath, keyPath = filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem")
	for path, block := range map[string]*pem.Block{
		certificatePath: {Type: "CERTIFICATE", Bytes: certificate}, keyPath: {Type: "EC PRIVATE KEY", Bytes: private},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
		modTime := time.Unix(1_700_000_000+serial, 0)
		if err := os.Chtimes(path, modTime, modTime); err != nil {
			t.Fatal(err)
		}
	}
	return certificatePath, keyPath
}

func serial(t *testing.T, files *tlsfiles.Files) int64 {
	t.Helper()
	served, err := files.Config().GetCertificate(nil)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(served.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	return parsed.SerialNumber.Int64()
}

// TestReload changes the files, and then corrupts one: the earlier certificate
// stays in use.
func TestReload(t *testing.T) {
	folder := t.TempDir()
	files, err := tlsfiles.New(write(t, folder, 1))
	if err != nil {
		t.Fatal(err)
	}
	if reloaded, err := files.Reload(); reloaded || err != nil {
		t.Errorf("unchanged files: %v, %v", reloaded, err)
	}
	_, keyPath := write(t, folder, 2)
	if reloaded, err := files.Reload(); !reloaded || err != nil || serial(t, files) != 2 {
		t.Errorf("changed files: %v, %v, serial %d", reloaded, err, serial(t, files))
	}
	if err := os.WriteFile(keyPath, []byte("corrupt"), 0o600); err != nil {
		t.Fatal(err)
	}
	if reloaded, err := files.Reload(); reloaded || err == nil || serial(t, files) != 2 {
		t.Errorf("corrupt key file: %v, %v, serial %d", reloaded, err, serial(t, files))
	}
}

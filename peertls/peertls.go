// Package peertls secures the connections between daemons: TLS 1.3 with mutual
// authentication by a shared cluster secret.
//
// An Ed25519 key is derived deterministically from each secret. A daemon presents a
// self-signed certificate of its key and accepts a peer whose key is derived from
// one of the accepted secrets. No certificate authority is needed, and a secret is
// rotated by accepting both the old and the new one for a while. Certificates do not
// identify hosts: they only authenticate membership of the fleet.
package peertls

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

// MinSecretBytes is the minimum length of a cluster secret.
const MinSecretBytes = 16

const (
	keyLabel      = "gooseberryshed peer key 1"
	serialNumber  = 1
	notBeforeYear = 2000
	notAfterYear  = 2200
)

// ErrInvalidSecret reports a missing or too short cluster secret.
var ErrInvalidSecret = errors.Errorf("cluster secret is shorter than %d bytes; set a longer one in --cluster-secret", MinSecretBytes)

// ErrUntrustedPeer reports a peer whose key is not derived from an accepted secret.
var ErrUntrustedPeer = errors.New("the peer's key is not derived from an accepted cluster secret; use the same --cluster-secret on all daemons")

// Identity holds the key presented to peers and the keys accepted from them.
type Identity struct {
	certificate tls.Certificate
	accepted    []ed25519.PublicKey
}

// New derives an identity from secrets. The key of the first is presented, the keys
// of all are accepted.
func New(secrets []string) (*Identity, error) {
	if len(secrets) == 0 {
		return nil, ErrInvalidSecret
	}
	id := &Identity{}
	for i, s := range secrets {
		key, err := deriveKey(s)
		if err != nil {
			return nil, err
		}
		id.accepted = append(id.accepted, key.Public().(ed25519.PublicKey))
		if i > 0 {
			continue
		}
		if id.certificate, err = selfSigned(key); err != nil {
			return nil, err
		}
	}
	return id, nil
}

func deriveKey(secret string) (ed25519.PrivateKey, error) {
	if len(secret) < MinSecretBytes {
		return nil, ErrInvalidSecret
	}
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, keyLabel, ed25519.SeedSize)
	if err != nil {
		return nil, errors.Wrap(err, "derive peer key")
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

func selfSigned(key ed25519.PrivateKey) (tls.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serialNumber),
		Subject:      pkix.Name{CommonName: "gooseberryshed"},
		NotBefore:    time.Date(notBeforeYear, 1, 1, 0, 0, 0, 0, time.UTC),
		NotAfter:     time.Date(notAfterYear, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	der, err := x509.CreateCertificate(nil, template, template, key.Public(), key)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "create peer certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// Client returns the configuration for outgoing connections.
func (id *Identity) Client() *tls.Config {
	cfg := id.baseConfig()
	// VerifyConnection checks the peer's key; there are no host names or
	// certificate authorities to verify.
	cfg.InsecureSkipVerify = true
	return cfg
}

// Server returns the configuration for incoming connections.
func (id *Identity) Server() *tls.Config {
	cfg := id.baseConfig()
	cfg.ClientAuth = tls.RequireAnyClientCert
	return cfg
}

func (id *Identity) baseConfig() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{id.certificate},
		CurvePreferences: []tls.CurveID{tls.X25519},
		VerifyConnection: id.verifyPeer,
		// Resumed sessions skip the certificate exchange.
		SessionTicketsDisabled: true,
	}
}

func (id *Identity) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrUntrustedPeer
	}
	key, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return ErrUntrustedPeer
	}
	for _, want := range id.accepted {
		if subtle.ConstantTimeCompare(key, want) == 1 {
			return nil
		}
	}
	return ErrUntrustedPeer
}

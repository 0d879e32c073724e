// Package peertls secures the links between daemons: TLS 1.3 with mutual
// authentication by a shared cluster secret.
//
// Each secret deterministically yields one Ed25519 key. All daemons present a
// certificate of that key and accept a peer when its key is that of one of the
// accepted secrets, so no certificate authority is needed and a secret is
// rotated by accepting two for a while. Certificates carry no names: what is
// authenticated is membership of the fleet.
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

// MinSecretBytes is the least length of a cluster secret.
const MinSecretBytes = 16

const (
	keyLabel      = "gooseberryshed peer key 1"
	serialNumber  = 1
	notBeforeYear = 2000
	notAfterYear  = 2200
)

// ErrSecret reports an unusable cluster secret.
var ErrSecret = errors.Errorf("cluster secret is shorter than %d bytes; set a longer one in --cluster-secret", MinSecretBytes)

// ErrPeer reports a peer that does not know an accepted secret.
var ErrPeer = errors.New("peer does not present the key of an accepted cluster secret; give all daemons the same --cluster-secret")

// Identity holds the key presented to peers and the keys accepted from them.
type Identity struct {
	certificate tls.Certificate
	accepted    []ed25519.PublicKey
}

// New derives an identity. The first secret is presented, all are accepted.
func New(secrets []string) (*Identity, error) {
	if len(secrets) == 0 {
		return nil, ErrSecret
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
		return nil, ErrSecret
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
	cfg := id.base()
	// The peer's key itself is checked in VerifyConnection; there are no
	// names or authorities to check.
	cfg.InsecureSkipVerify = true
	return cfg
}

// Server returns the configuration for incoming connections.
func (id *Identity) Server() *tls.Config {
	cfg := id.base()
	cfg.ClientAuth = tls.RequireAnyClientCert
	return cfg
}

func (id *Identity) base() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{id.certificate},
		CurvePreferences: []tls.CurveID{tls.X25519},
		VerifyConnection: id.verify,
		// Resumed sessions would skip the exchange of certificates.
		SessionTicketsDisabled: true,
	}
}

func (id *Identity) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrPeer
	}
	key, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return ErrPeer
	}
	for _, want := range id.accepted {
		if subtle.ConstantTimeCompare(key, want) == 1 {
			return nil
		}
	}
	return ErrPeer
}

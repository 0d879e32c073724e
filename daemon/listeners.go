package daemon

import (
	"crypto/tls"
	"net"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/settings"
)

// listeners holds the open listeners of a daemon.
type listeners struct {
	caller, forward, rpc, announce, admin net.Listener
}

// listen opens all listeners. If one fails, it closes those already open.
func listen(s *settings.Settings) (*listeners, error) {
	ls := &listeners{}
	for _, a := range []struct {
		flag, addr string
		to         *net.Listener
	}{
		{"caller-listen", s.CallerListen, &ls.caller},
		{"forward-listen", s.ForwardListen, &ls.forward},
		{"rpc-listen", s.RPCListen, &ls.rpc},
		{"announce-listen", s.AnnounceListen, &ls.announce},
		{"admin-listen", s.AdminListen, &ls.admin},
	} {
		l, err := net.Listen("tcp", a.addr)
		if err != nil {
			ls.close()
			return nil, errors.Wrapf(err, "cannot listen on --%s; free the address or choose another", a.flag)
		}
		*a.to = l
	}
	if err := ls.secure(s); err != nil {
		ls.close()
		return nil, err
	}
	return ls, nil
}

// secure wraps the callers' listener in TLS when a certificate is set.
func (ls *listeners) secure(s *settings.Settings) error {
	if s.TLSCert == "" {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(s.TLSCert, s.TLSKey)
	if err != nil {
		return errors.Wrap(err, "cannot load --tls-cert and --tls-key; check the PEM files")
	}
	ls.caller = tls.NewListener(ls.caller, &tls.Config{
		Certificates: []tls.Certificate{cert},
		MinVersion:   tls.VersionTLS12,
	})
	return nil
}

func (ls *listeners) close() {
	for _, l := range []net.Listener{ls.caller, ls.forward, ls.rpc, ls.announce, ls.admin} {
		if l != nil {
			l.Close()
		}
	}
}

// advertisedAddress returns the address published to peers: the setting, or the
// listen address if the setting is empty.
func advertisedAddress(setting string, l net.Listener) string {
	if setting != "" {
		return setting
	}
	return l.Addr().String()
}

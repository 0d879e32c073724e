package rpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// MaxMessageBytes bounds one message in either direction.
const MaxMessageBytes = 4 << 20

// writeTimeout bounds the write of one message, for peers that stopped reading.
const writeTimeout = 5 * time.Second

// ErrMessageTooLarge reports a message that exceeds MaxMessageBytes.
var ErrMessageTooLarge = errors.Errorf("rpc message exceeds %d bytes; split it into smaller messages", MaxMessageBytes)

// stream is a jsonrpc2.ObjectStream of length-prefixed JSON messages.
type stream struct {
	conn    net.Conn
	r       *bufio.Reader
	writeMu sync.Mutex
}

func newStream(conn net.Conn) *stream {
	return &stream{conn: conn, r: bufio.NewReader(conn)}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	body, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "encode rpc message")
	}
	if len(body) > MaxMessageBytes {
		return ErrMessageTooLarge
	}
	frame := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(body)), uint64(len(body)))
	frame = append(frame, body...)
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err = s.conn.Write(frame)
	return err
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	size, err := binary.ReadUvarint(s.r)
	if err != nil {
		return err
	}
	if size > MaxMessageBytes {
		return ErrMessageTooLarge
	}
	body := make([]byte, 0, min(size, 64<<10))
	body, err = readFull(s.r, body, int(size))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, v)
}

// readFull grows the buffer as data arrives, so that a forged length prefix cannot
// make it allocate memory up front.
func readFull(r io.Reader, buf []byte, size int) ([]byte, error) {
	const step = 64 << 10
	for len(buf) < size {
		n := min(step, size-len(buf))
		start := len(buf)
		buf = append(buf, make([]byte, n)...)
		if _, err := io.ReadFull(r, buf[start:]); err != nil {
			return nil, err
		}
	}
	return buf, nil
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

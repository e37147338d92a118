package pgsrv_test

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"turmericpulley/io/wire"
)

// pipeStream implements Stream over a net.Conn.
type pipeStream struct {
	net.Conn
	mutex sync.Mutex
	// endDelay delays the end of the stream in Receive, as when the receiving goroutine is not scheduled at once.
	endDelay time.Duration
}

func (p *pipeStream) Send(frame *wire.Frame) error {
	data, err := proto.Marshal(frame)
	if err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, err = p.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...))
	return err
}

func (p *pipeStream) Receive() (*wire.Frame, error) {
	var header [4]byte
	if _, err := io.ReadFull(p, header[:]); err != nil {
		time.Sleep(p.endDelay)
		return nil, err
	}
	data := make([]byte, binary.BigEndian.Uint32(header[:]))
	if _, err := io.ReadFull(p, data); err != nil {
		return nil, err
	}
	frame := new(wire.Frame)
	return frame, proto.Unmarshal(data, frame)
}

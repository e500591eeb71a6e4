package proxy

import (
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// pieceBytes is the most that is passed on at a time.
	pieceBytes = 32 << 10
	// maxRepeatBytes bounds an answer that is repeated.
	maxRepeatBytes = 64 << 10
)

// pair is one connection from a client and the one to the target.
type pair struct {
	proxy  *Proxy
	client net.Conn
	target net.Conn
	once   sync.Once
	ended  chan struct{}

	// mutex guards what is written to the client.
	mutex sync.Mutex
	// answer is what has come from the target since the last piece from the client.
	answer []byte
	// answered is set once a piece has come from the target since then.
	answered bool
}

// copy passes pieces on until a side ends, and then ends the pair.
func (pair *pair) copy(from, to net.Conn, send func(to net.Conn, piece []byte) error) {
	defer pair.close()
	buffer := make([]byte, pieceBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 && send(to, buffer[:count]) != nil {
			return
		}
		if err != nil {
			return
		}
	}
}

func (pair *pair) sendUp(target net.Conn, piece []byte) error {
	pair.hold(CutUp)
	if err := pair.repeat(); err != nil {
		return err
	}
	_, err := target.Write(piece)
	return err
}

func (pair *pair) sendDown(client net.Conn, piece []byte) error {
	pair.hold(CutDown)
	pair.mutex.Lock()
	defer pair.mutex.Unlock()
	pair.answered = true
	if len(pair.answer) <= maxRepeatBytes {
		pair.answer = append(pair.answer, piece...)
	}
	_, err := client.Write(piece)
	return err
}

// repeat writes the last answer once more if the fault asks for it, and begins the next one.
func (pair *pair) repeat() error {
	pair.mutex.Lock()
	defer pair.mutex.Unlock()
	if !pair.answered {
		return nil
	}
	answer := slices.Clone(pair.answer)
	pair.answered, pair.answer = false, pair.answer[:0]
	if pair.proxy.currentFault().Kind != Repeat || len(answer) > maxRepeatBytes {
		return nil
	}
	_, err := pair.client.Write(answer)
	return err
}

// hold waits as long as the fault holds pieces of one direction back.
func (pair *pair) hold(cut Kind) {
	if fault := pair.proxy.currentFault(); fault.Kind == Delay {
		pair.sleep(fault.Delay)
	}
	for {
		kind := pair.proxy.currentFault().Kind
		if kind != cut && kind != Silence {
			return
		}
		if !pair.sleep(checkInterval) {
			return
		}
	}
}

// sleep returns false once the pair has ended.
func (pair *pair) sleep(wait time.Duration) bool {
	select {
	case <-pair.ended:
		return false
	case <-time.After(wait):
		return true
	}
}

func (pair *pair) close() {
	pair.once.Do(func() {
		close(pair.ended)
		_ = pair.client.Close()
		_ = pair.target.Close()
	})
}

func (pair *pair) reset() {
	pair.once.Do(func() {
		close(pair.ended)
		resetConn(pair.client)
		resetConn(pair.target)
	})
}

// resetConn closes a connection with a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

package endpoint

import (
	"io"
	"net/http"
	"time"

	"carobline.dev/core/connection/headsize"
	"carobline.dev/core/process/memory"
)

// headCharge is what one answer's head holds of the account.
type headCharge struct {
	account *memory.Account
	now     func() time.Time
	holder  memory.Holder
	subject string

	size   headsize.Size
	charge *memory.Charge
}

// newHeadCharge returns the charge of the answer to a request. Without an account it holds nothing.
func (transport *Transport) newHeadCharge(request *http.Request) *headCharge {
	return &headCharge{
		account: transport.account, now: transport.now, holder: memory.Holder{Kind: memory.Endpoint, Name: request.URL.Host}, subject: request.Header.Get(transport.idHeader),
	}
}

// add charges more bytes of the head before they are kept.
func (head *headCharge) add(read []byte) error {
	head.size.Add(read)
	size := head.size.Charged()
	if size == 0 {
		return nil
	}
	if head.account == nil {
		return nil
	}
	if head.charge == nil {
		head.charge = head.account.Open(head.holder, head.subject, nil)
	}
	return head.charge.Resize(head.now(), size)
}

// closing gives a charge back when a body is closed.
type closing struct {
	io.ReadCloser
	charge *memory.Charge
}

// Close implements io.Closer.
func (closing *closing) Close() error {
	defer closing.charge.Close()
	return closing.ReadCloser.Close()
}

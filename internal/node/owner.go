package node

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/admission"
	"tamarackquay/internal/port"
)

// Own implements peerforward.Owner: it runs a call that another node forwarded
// on the local target.
func (n *Node) Own(w http.ResponseWriter, r *http.Request, call *port.Call) {
	n.running.Add(1)
	defer n.running.Add(-1)
	n.overheard(call.Entry, call.Version)
	answer, done, err := n.own(r.Context(), call)
	if err != nil {
		callhttp.WriteError(w, err)
		return
	}
	defer done()
	passAnswer(w, answer, call.Stall)
}

// own admits the call and runs it on the local target. The returned function
// gives the slot back and must be called once the answer's body is passed on.
func (n *Node) own(ctx context.Context, call *port.Call) (*port.Answer, func(), error) {
	if refusal := n.mayServe(); refusal != nil {
		return nil, nil, refusal
	}
	if call.Service != n.config.Self.Service {
		return nil, nil, port.Refuse(port.ReasonWrongOwner, 0, "this VM runs service %s", n.config.Self.Service)
	}
	if refusal := n.gate.enter(ctx, n.admissionRequest(call)); refusal != nil {
		return nil, nil, refusal
	}
	answer, err := n.ports.Target.Do(ctx, call)
	n.gate.observe(err)
	if err != nil {
		n.gate.leave(call.ID)
		return nil, nil, err
	}
	answer.Owner = n.config.Self.ID
	return answer, func() {
		answer.Body.Close()
		n.gate.leave(call.ID)
	}, nil
}

func (n *Node) admissionRequest(call *port.Call) admission.Request {
	request := admission.Request{ID: call.ID, Customer: call.Customer, Depth: call.Depth, Deadline: call.Deadline}
	current := n.current.Load()
	contract := current.Contract(call.Customer)
	if contract == nil {
		return request
	}
	for i := range contract.Routes {
		if route := &contract.Routes[i]; route.Name == call.Route {
			request.Rank = contract.ClassRank(route.Class)
			request.Long = route.Long
		}
	}
	return request
}

// copyBufferBytes is the size of the buffer that bodies pass through.
const copyBufferBytes = 64 << 10

// passAnswer writes an answer through. If its body breaks, the connection is
// cut: a clean end of stream would pass half an archive off as whole.
func passAnswer(w http.ResponseWriter, answer *port.Answer, stall time.Duration) {
	header := w.Header()
	callhttp.CopyHeader(header, answer.Header)
	if answer.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	w.WriteHeader(answer.Status)
	if err := copyBody(w, answer.Body, stall); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyBody passes the body on as it comes and ends it when no byte arrives for
// the stall time.
func copyBody(w http.ResponseWriter, body io.ReadCloser, stall time.Duration) error {
	timer := time.AfterFunc(stall, func() { body.Close() })
	defer timer.Stop()
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		count, err := body.Read(buffer)
		timer.Reset(stall)
		if count > 0 {
			if _, writeErr := w.Write(buffer[:count]); writeErr != nil {
				return writeErr
			}
			if count < len(buffer) {
				control.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

package cpapi

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpjson"
)

// bodyTooLargeError is the error for a body above the size limit.
type bodyTooLargeError struct{ limit int64 }

func (e *bodyTooLargeError) Error() string { return fmt.Sprintf("body: larger than %d bytes", e.limit) }

func (s *server) unknownPath(w http.ResponseWriter, r *http.Request) {
	s.fail(w, clementineport.Fail(clementineport.FaultNotFound, "path %q does not exist", r.URL.Path))
}

// wrongMethod refuses a request to a path that does not allow its method.
func (s *server) wrongMethod(w http.ResponseWriter, r *http.Request) {
	err := clementineport.Fail(clementineport.FaultInvalid, "method %s is not allowed here", r.Method)
	s.write(w, http.StatusMethodNotAllowed, err)
}

// Status returns the HTTP status for a fault.
func Status(f clementineport.Fault) int {
	switch f {
	case clementineport.FaultInvalid:
		return http.StatusBadRequest
	case clementineport.FaultNotFound:
		return http.StatusNotFound
	case clementineport.FaultShed:
		return http.StatusTooManyRequests
	case clementineport.FaultDraining, clementineport.FaultStale, clementineport.FaultUnavailable,
		clementineport.FaultTakenOut, clementineport.FaultCold:
		return http.StatusServiceUnavailable
	case clementineport.FaultDeadline, clementineport.FaultTimeout, clementineport.FaultCanceled:
		return http.StatusGatewayTimeout
	case clementineport.FaultDuplicate:
		return http.StatusConflict
	default:
		return http.StatusBadGateway
	}
}

// fail writes the response for an error, with its verdict.
func (s *server) fail(w http.ResponseWriter, err error) {
	s.write(w, Status(clementineport.FaultOf(err)), err)
}

func (s *server) write(w http.ResponseWriter, status int, err error) {
	var body struct {
		cpjson.Refusal
		RetryAfterMillis int64  `json:",omitempty"`
		Entry            string `json:",omitempty"`
	}
	body.Refusal = cpjson.NewRefusal(clementineport.FaultOf(err), err.Error())
	if tooLarge, ok := errors.AsType[*bodyTooLargeError](err); ok {
		body.Refusal = cpjson.NewRefusal(clementineport.FaultInvalid, tooLarge.Error())
		status = http.StatusRequestEntityTooLarge
	}
	if e, ok := errors.AsType[*clementineport.Error](err); ok {
		body.RetryAfterMillis = e.RetryAfter.Milliseconds()
		body.Entry = e.Entry
	}
	if body.RetryAfterMillis > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(time.Duration(body.RetryAfterMillis)*time.Millisecond))
	}
	cpjson.Write(w, status, body)
}

func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

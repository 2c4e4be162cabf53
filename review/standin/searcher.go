package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// searcher is a stand-in of one searcher. Requests state their work in their path: /PREFIX/takes/MILLISECONDS/...
type searcher struct {
	id, service, zone string
	slots, queue      int
	record            *record
	// runs is called when the searcher begins to work on a request.
	runs func(s *searcher, attempt string)
	// duplicate returns whether the answer that is about to be sent is sent a second time, where the next one is expected.
	duplicate func(status int) bool

	listener *net.TCPListener
	fd       int

	mu      sync.Mutex
	busy    int
	waiting int
	freed   chan struct{}
	// cut is closed when the cut ends, or nil. Connections that spared have carried a request with spareHeader.
	cut    chan struct{}
	conns  map[*searcherConn]bool
	filler []net.Conn
}

// spareHeader marks the requests of a machine that a cut spares.
const spareHeader = "X-Spared"

type searcherConn struct {
	net.Conn
	spared bool
	// extra is an answer to send again where the next one is expected.
	extra []byte
}

func newSearcher(s *searcher, ip string) error {
	addr := net.ParseIP(ip).To4()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	sa := &syscall.SockaddrInet4{}
	copy(sa.Addr[:], addr)
	if err := syscall.Bind(fd, sa); err != nil {
		return err
	}
	if err := syscall.Listen(fd, 128); err != nil {
		return err
	}
	f := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(f)
	if err != nil {
		return err
	}
	s.fd, s.listener = fd, ln.(*net.TCPListener)
	s.conns, s.freed = map[*searcherConn]bool{}, make(chan struct{})
	if s.runs == nil {
		s.runs = func(*searcher, string) {}
	}
	if s.duplicate == nil {
		s.duplicate = func(int) bool { return false }
	}
	go s.accept(f)
	return nil
}

func (s *searcher) address() string { return s.listener.Addr().String() }

// entry returns the searcher's registration. coldMS is how much longer it is cold.
func (s *searcher) entry(coldMS, seq int) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":%d,"state":"ready","cold_left_ms":%d,"seq":%d,"born":%d}`,
		s.service, s.address(), s.zone, s.slots, coldMS, seq, s.record.start.UnixMilli())
}

func (s *searcher) accept(f *os.File) {
	defer f.Close()
	for {
		if s.isCut() {
			time.Sleep(2 * time.Millisecond)
			continue
		}
		_ = s.listener.SetDeadline(time.Now().Add(20 * time.Millisecond))
		raw, err := s.listener.Accept()
		if err != nil {
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				continue
			}
			return
		}
		c := &searcherConn{Conn: raw}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *searcher) isCut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut != nil
}

// beginCut makes new connections hang and silences the open ones that are not spared.
func (s *searcher) beginCut() {
	s.mu.Lock()
	s.cut = make(chan struct{})
	s.mu.Unlock()
	time.Sleep(30 * time.Millisecond) // the accept in progress ends
	_ = syscall.Listen(s.fd, 0)
	for range 3 { // with a full queue of new connections, opening packets are dropped
		if c, err := net.DialTimeout("tcp", s.address(), 100*time.Millisecond); err == nil {
			s.filler = append(s.filler, c)
		}
	}
}

// endCut resets the connections that were cut, with what they had received meanwhile, and accepts new ones.
func (s *searcher) endCut() {
	for _, c := range s.filler {
		c.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.spared {
			if tcp, ok := c.Conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			c.Close()
		}
	}
	_ = syscall.Listen(s.fd, 128)
	close(s.cut)
	s.cut = nil
}

// wait waits until no cut holds a connection.
func (s *searcher) wait(c *searcherConn) {
	s.mu.Lock()
	cut := s.cut
	if c.spared {
		cut = nil
	}
	s.mu.Unlock()
	if cut != nil {
		<-cut
	}
}

func (s *searcher) serve(c *searcherConn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		s.wait(c)
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.Header.Get(spareHeader) != "" {
			s.mu.Lock()
			c.spared = true
			s.mu.Unlock()
		}
		if c.extra != nil { // "An extra response may arrive late, at the point where the next response is expected."
			s.record.line("searcher %s sends an extra answer on the connection of the next request", s.id)
			if _, err := c.Write(c.extra); err != nil {
				return
			}
			c.extra = nil
			time.Sleep(2 * time.Millisecond) // the extra answer arrives first
		}
		if !s.answer(c, r) {
			return
		}
	}
}

func (s *searcher) answer(c *searcherConn, r *http.Request) bool {
	attempt := r.Header.Get("Attempt-Id")
	head := "Attempt-Id: " + attempt + "\r\nInstance-Id: " + s.id + "\r\nKeep-Alive: timeout=15\r\n"
	if r.URL.Path == "/health" {
		return s.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", head), 200)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		s.record.line("searcher %s answers 421 to %s", s.id, attempt)
		return s.write(c, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head), 421)
	}
	left, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if !s.enter(time.Duration(left) * time.Millisecond) {
		s.record.line("searcher %s sheds %s", s.id, attempt)
		return s.write(c, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", head), 503)
	}
	s.record.line("searcher %s runs %s", s.id, attempt)
	s.runs(s, attempt)
	time.Sleep(min(workOf(r.URL.Path), time.Duration(left)*time.Millisecond))
	s.leave()
	s.wait(c)
	text := "result of " + attempt + "\n"
	return s.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sServer-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", head, s.id, attempt, len(text), text), 200)
}

// write sends an answer and reports whether the connection may be used again.
func (s *searcher) write(c *searcherConn, answer string, status int) bool {
	if s.duplicate(status) {
		c.extra = []byte(answer)
	}
	_, err := io.WriteString(c, answer)
	return err == nil
}

// enter takes a slot, or waits in the queue for one. It returns false if the queue is full or the time is over.
func (s *searcher) enter(left time.Duration) bool {
	deadline := time.After(left)
	s.mu.Lock()
	queued := false
	for s.busy >= s.slots {
		if !queued {
			if s.waiting >= s.queue {
				s.mu.Unlock()
				return false
			}
			s.waiting++
			queued = true
		}
		freed := s.freed
		s.mu.Unlock()
		expired := false
		select {
		case <-freed:
		case <-deadline:
			expired = true
		}
		s.mu.Lock()
		if expired {
			s.waiting--
			s.mu.Unlock()
			return false
		}
	}
	if queued {
		s.waiting--
	}
	s.busy++
	s.mu.Unlock()
	return true
}

func (s *searcher) leave() {
	s.mu.Lock()
	s.busy--
	close(s.freed)
	s.freed = make(chan struct{})
	s.mu.Unlock()
}

// workOf returns the work that a path states.
func workOf(path string) time.Duration {
	_, rest, ok := strings.Cut(path, "/takes/")
	if !ok {
		return 5 * time.Millisecond
	}
	text, _, _ := strings.Cut(rest, "/")
	n, _ := strconv.Atoi(text)
	return time.Duration(n) * time.Millisecond
}

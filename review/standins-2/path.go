package main

import (
	"fmt"
	"net/http"
	"time"
)

// Figures of the case.
const (
	pathRounds = 20
	pathWork   = 20 * time.Millisecond
	pathEvery  = 20 * time.Millisecond
	// pathSettle is how long after a change the requests begin: the bound on changes and a second.
	pathSettle = 3500 * time.Millisecond
)

// playPath lets the operator add a route for one of three services, and asks for it at all machines alike.
// With the disruption the route's prefix is /peer/.
func playPath(f *fleet, trouble bool) (bool, error) {
	first := []route{
		{"r-log", "/lepu270/", "safe", "logbook", 1500 * time.Millisecond, 800 * time.Millisecond},
		{"r-arch", "/fiti832/", "safe", "archivist", 1500 * time.Millisecond, 800 * time.Millisecond},
	}
	services := []string{"logbook", "certdesk", "archivist"}
	if err := f.publish(first, services); err != nil {
		return false, err
	}
	places := []place{
		{"alm-a", "logbook"}, {"ast-a", "logbook"}, {"kar-a", "logbook"},
		{"alm-a", "certdesk"}, {"ast-a", "certdesk"}, {"kar-a", "archivist"},
	}
	work := func(*upstream, *http.Request) time.Duration { return pathWork }
	if err := f.start(places, work); err != nil {
		return false, err
	}
	prefix := "/xapu221/"
	if trouble {
		prefix = "/peer/"
	}
	added := route{"r-added", prefix, "safe", "archivist", 1500 * time.Millisecond, 800 * time.Millisecond}
	if err := f.publish(append(first, added), services); err != nil {
		return false, err
	}
	f.record.add("store", "version %d adds the route %s to archivist; the store confirms it", f.version, prefix)
	paths := []string{"/lepu270/", "/fiti832/", prefix}
	time.Sleep(pathSettle)
	served, sent := map[string]int{}, map[string]int{}
	for round := range pathRounds {
		for _, m := range f.machines {
			for i, path := range paths {
				sent[path]++
				if f.get(m, path+"feed", fmt.Sprintf("%04x%04x%08x", m.number, i, round)) == http.StatusOK {
					served[path]++
				}
			}
		}
		time.Sleep(pathEvery)
	}
	f.record.add("count", "sent: %v; served: %v", sent, served)
	firstSent, firstServed := sent[paths[0]]+sent[paths[1]], served[paths[0]]+served[paths[1]]
	if firstServed*10 < firstSent*9 {
		return false, fmt.Errorf("the first routes were served %d times in %d", firstServed, firstSent)
	}
	// Served less than a quarter as often as the first routes.
	return served[prefix]*firstSent*4 < firstServed*sent[prefix], nil
}

// get sends one request and returns the status of its answer, 0 if there is none.
func (f *fleet) get(m *machine, path, id string) int {
	f.record.add("send", "GET %s request %s to node %d", path, id, m.number)
	request, err := http.NewRequest(http.MethodGet, "http://"+m.outbound()+path, nil)
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Tamarackquay-Request-Id", id)
	request.Header.Set("Tamarackquay-Deadline-Ms", "3000")
	client := &http.Client{Timeout: 3 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		f.record.add("answer", "request %s: none", id)
		return 0
	}
	_ = response.Body.Close()
	f.record.add("answer", "request %s: status %d", id, response.StatusCode)
	return response.StatusCode
}

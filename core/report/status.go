package report

// Status lists the state of all processes as one entry last observed it.
type Status struct {
	Revision  int64            `json:"revision"`
	Entries   []EntryStatus    `json:"entries"`
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// EntryStatus describes one entry.
type EntryStatus struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	Revision      int64  `json:"revision"`
	IsLeader      bool   `json:"lead"`
	Running       int64  `json:"running"`
	IsLeaving     bool   `json:"leaving"`
	IsOutdated    bool   `json:"lags"` // its revision is not the newest
	IsUnreachable bool   `json:"unreachable"`
}

// UpstreamStatus describes one upstream and its agent.
type UpstreamStatus struct {
	Name string `json:"name"`
	// Revision is the newest configuration revision that the agent has received.
	Revision   int64  `json:"revision"`
	IsOutdated bool   `json:"lags"`
	Target     string `json:"target"`
	Zone       string `json:"zone"`
	VM         string `json:"vm"`
	IsLinked   bool   `json:"linked"`
	IsDraining bool   `json:"drain"`
	IsLeaving  bool   `json:"leaving"`
	Role       string `json:"role"`
	Version    string `json:"version"`
	Epoch      int64  `json:"epoch"`
	Plan       int64  `json:"plan"`
	Running    int    `json:"running"`
	Queued     int    `json:"queued"`
	Slots      int    `json:"slots"`
}

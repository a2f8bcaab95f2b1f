package launcher

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"kingcupvalve.example/kingcupvalve/standin/backend"
)

// CollectRecords appends the request records of all backend servers to Records.
func (f *Fleet) CollectRecords(ctx context.Context) error {
	for _, n := range f.agents {
		if err := f.collectNodeRecords(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) collectNodeRecords(ctx context.Context, n *Node) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, n.backendURL+"/recordz", nil)
	if err != nil {
		return fmt.Errorf("create request for %s: %w", n.backendURL, err)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return fmt.Errorf("read request records of %s: %w", n.name, err)
	}
	defer response.Body.Close()
	var records []backend.Record
	if err := json.NewDecoder(response.Body).Decode(&records); err != nil {
		return fmt.Errorf("decode request records of %s: %w", n.name, err)
	}
	f.records = append(f.records, records...)
	return nil
}

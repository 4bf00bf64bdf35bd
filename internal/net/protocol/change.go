package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"otterturn/scheduler"
)

// mostNames is the maximum number of class names, and of plan names, that a process may have seen since its start. Each name
// keeps its index while the process runs.
const mostNames = 4096

// ParseChange parses a configuration that replaces the former one while the program runs. In addition to the checks of
// ParseConfig, the new text must have every key of the former text, because a file that was truncated while it was edited lacks
// some. Classes and plans keep their indexes. Those that the new configuration no longer names keep their index as well, but
// requests can no longer use them.
func ParseChange(text []byte, former Config, formerText []byte) (Config, error) {
	var was, is any
	if err := json.Unmarshal(text, &is); err != nil {
		return Config{}, err
	}
	if err := json.Unmarshal(formerText, &was); err != nil {
		return Config{}, fmt.Errorf("former configuration: %w", err)
	}
	if key := lacks(was, is, ""); key != "" {
		return Config{}, fmt.Errorf("%s: missing", key)
	}
	out, err := ParseConfig(text)
	if err != nil {
		return Config{}, err
	}
	if out.Settings.Scheduler.MaxAttempts <= 0 { // at a start 0 means no limit; in a reload it indicates a damaged file
		return Config{}, errors.New("settings: ceilings.tryLimit: must be above 0")
	}
	if out.Settings, err = former.Settings.followedBy(out.Settings); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	return out, nil
}

// lacks returns the path of the first key of the former value that the new one does not have, or "" if it has them all. Each
// entry of a list must have the keys that all entries of the former list have.
func lacks(was, is any, at string) string {
	switch was := was.(type) {
	case map[string]any:
		fields, ok := is.(map[string]any)
		if !ok {
			return at
		}
		keys := make([]string, 0, len(was))
		for k := range was {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			name := k
			if at != "" {
				name = at + "." + k
			}
			value, has := fields[k]
			if !has {
				return name
			}
			if name == "known" { // the former endpoint list does not determine the keys of the new one
				continue
			}
			if key := lacks(was[k], value, name); key != "" {
				return key
			}
		}
	case []any:
		entries, ok := is.([]any)
		if !ok {
			return at
		}
		form := common(was)
		for i, e := range entries {
			if key := lacks(form, e, at+"["+strconv.Itoa(i)+"]"); key != "" {
				return key
			}
		}
	}
	return ""
}

// common returns an object with the keys that all entries have, with nil values. It returns nil if there are no entries or if an
// entry is not an object.
func common(entries []any) any {
	var out map[string]any
	for _, e := range entries {
		fields, ok := e.(map[string]any)
		if !ok {
			return nil
		}
		if out == nil {
			out = map[string]any{}
			for k := range fields {
				out[k] = nil
			}
		}
		for k := range out {
			if _, has := fields[k]; !has {
				delete(out, k)
			}
		}
	}
	if out == nil {
		return nil
	}
	return out
}

// followedBy returns next with its classes and plans at the indexes that they have in s. New names get the indexes after these.
func (s Settings) followedBy(next Settings) (Settings, error) {
	out := next
	out.Classes, out.Plans, out.Waits = nil, nil, nil
	// Writes is given by position, in the class order of the start. The list of the start therefore stays in use.
	out.Writes = s.Writes
	out.Scheduler.Classes, out.Scheduler.Plans = slices.Clone(s.Scheduler.Classes), slices.Clone(s.Scheduler.Plans)
	for _, name := range s.Names {
		i := slices.Index(next.Classes, name)
		out.add(next, i)
	}
	out.Names = slices.Clone(s.Names)
	for i, name := range next.Classes {
		if !slices.Contains(s.Names, name) {
			out.Names = append(out.Names, name)
			out.Scheduler.Classes = append(out.Scheduler.Classes, scheduler.Class{})
			out.add(next, i)
		}
	}
	out.PlanNames = slices.Clone(s.PlanNames)
	for i, name := range next.Plans {
		at := slices.Index(out.PlanNames, name)
		if at < 0 {
			at = len(out.PlanNames)
			out.PlanNames, out.Scheduler.Plans = append(out.PlanNames, name), append(out.Scheduler.Plans, scheduler.Plan{})
		}
		out.Scheduler.Plans[at] = next.Scheduler.Plans[i]
	}
	for _, name := range out.PlanNames {
		if !slices.Contains(next.Plans, name) {
			name = ""
		}
		out.Plans = append(out.Plans, name)
	}
	if len(out.Names) > mostNames || len(out.PlanNames) > mostNames {
		return Settings{}, fmt.Errorf("classes and contracts: more than %d names since the start", mostNames)
	}
	return out, nil
}

// add appends the class with index i in from. If i is below 0, it appends an empty entry, which no request can use.
func (s *Settings) add(from Settings, i int) {
	at := len(s.Classes)
	if i < 0 {
		s.Classes, s.Waits = append(s.Classes, ""), append(s.Waits, 0)
		return
	}
	s.Classes, s.Waits = append(s.Classes, from.Classes[i]), append(s.Waits, from.Waits[i])
	s.Scheduler.Classes[at] = from.Scheduler.Classes[i]
}

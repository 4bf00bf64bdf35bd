# Targets for people and for .ci/run. Everything needs the Go tool chain alone.
.PHONY: build test lint run

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

test:
	go test -race -count=1 ./...

lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	go vet ./...

# The appliance by the operator's file in deploy/; CONFIG names another one.
CONFIG ?= deploy/appliance.toml
run: build
	bin/otterturn serve -config $(CONFIG)

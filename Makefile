CONFIG ?= $(NODE_CONFIG)

.PHONY: build test race lint run demo lab gate sites

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test -p 1 ./...

race:
	go test -race ./...

lint:
	go tool -modfile=tools/go.mod golangci-lint run ./...
	go tool -modfile=tools/go.mod golangci-lint fmt --diff ./...
	@unreachable=$$(go tool -modfile=tools/go.mod deadcode -test ./...); test -z "$$unreachable" || { echo "unreachable code:"; echo "$$unreachable"; exit 1; }

run: build
	exec bin/fawnglade serve --config "$(CONFIG)"

demo: build
	bin/fawnglade-lab demo

# All days of the lab, some minutes long; results and nodes' logs stay in out/.
lab: build
	bin/fawnglade-lab run lab/scenarios/*.toml --out out --retry 2

# The gate in full: days at 3, 30 and 300 nodes in virtual time, some two minutes on eight cores.
gate: build
	for n in 3 30 300; do bin/fawnglade-lab gate lab/scenarios/fleet/*.toml --nodes $$n --seeds 2 || exit 1; done

# Lays the kit's files that a site file needs beside ours, unchanged; KIT is where the operators' kit lies.
KIT ?= ../given/kit
sites:
	@for f in real.json wire.json unlock.txt; do \
		test -f "$(KIT)/sites/$$f" || { echo "sites: expected the operators' kit with sites/$$f at $(KIT); give KIT=..."; exit 1; }; \
		cp -f "$(KIT)/sites/$$f" deploy/sites/; \
	done

PROGRAMS = entry keeper indigo stand bench
MODULES = . $(addprefix ./,$(PROGRAMS))
PACKAGES = ./... $(addsuffix /...,$(addprefix ./,$(PROGRAMS)))
DEPLOY ?= gunescati
SEED ?= 1

.PHONY: build demo test bench lint format unit race

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/$$p ./$$p || exit 1; done

demo: build
	@bash demo/run.sh $(DEPLOY)

test: lint race bench

lint:
	@out=$$(go tool gofumpt -l .); if [ -n "$$out" ]; then echo "gofumpt:"; echo "$$out"; exit 1; fi
	go tool revive -set_exit_status $(PACKAGES)
	go vet $(PACKAGES)

format:
	go tool gofumpt -w .

unit:
	go test $(PACKAGES)

race:
	go test -race $(PACKAGES)

bench: build
	@bin/bench measure --seed $(SEED)

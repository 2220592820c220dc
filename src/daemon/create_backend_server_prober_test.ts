import test from "ava";
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { systemClock } from "../runtime/system_clock.ts";
import { createBackendServerProber } from "./create_backend_server_prober.ts";

const longTimeoutMilliseconds = 20_000;

async function listen(listener: RequestListener): Promise<Server> {
  const server = createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return server;
}

async function probe(server: Server, timeoutMilliseconds: number) {
  const { port } = server.address() as AddressInfo;
  const prober = createBackendServerProber({ host: "127.0.0.1", port }, {
    clock: systemClock,
  });
  const result = await prober.probe({
    deadline: systemClock.now() + timeoutMilliseconds,
  });
  await prober.close();
  server.close();
  server.closeAllConnections();
  return result;
}

test("probe() reads the state and the running calls", async (t) => {
  const server = await listen((request, response) =>
    response.end(
      request.url === "/health"
        ? '{"state":"cold"}'
        : '{"running":3,"slots":12}',
    )
  );
  const result = await probe(server, longTimeoutMilliseconds);
  t.true(result.isOk);
  if (result.isOk) {
    t.is(result.value.reportedState, "cold");
    t.is(result.value.running, 3);
  }
});

const failures: readonly {
  readonly name: string;
  readonly timeoutMilliseconds: number;
  readonly listener: RequestListener;
}[] = [
  {
    name: "a response with an unexpected status",
    timeoutMilliseconds: longTimeoutMilliseconds,
    listener: (_request, response) =>
      response.writeHead(500).end('{"state":"ready","running":1}'),
  },
  {
    name: "a response that is not JSON",
    timeoutMilliseconds: longTimeoutMilliseconds,
    listener: (_request, response) => response.end("<p>ready</p>"),
  },
  {
    name: "a response with an unknown state",
    timeoutMilliseconds: longTimeoutMilliseconds,
    listener: (_request, response) =>
      response.end('{"state":"fine","running":1}'),
  },
  {
    name: "a response that is too long",
    timeoutMilliseconds: longTimeoutMilliseconds,
    listener: (_request, response) =>
      response.end(
        `{"state":"ready","running":1,"more":"${"x".repeat(10_000)}"}`,
      ),
  },
  {
    name: "no response before the deadline",
    timeoutMilliseconds: 100,
    listener: () => {},
  },
];

failures.forEach(({ name, timeoutMilliseconds, listener }) =>
  test(`probe() reports ${name}`, async (t) => {
    const result = await probe(await listen(listener), timeoutMilliseconds);
    t.true(result.isErr);
    if (result.isErr) {
      t.is(result.error.code, DiagnosticCode.BackendServerUnreachable);
    }
  })
);

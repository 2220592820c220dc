// A sound backend server as PROTOCOL.md describes it: it runs `slots` requests
// at a time, queues a few more, echoes X-Attempt-Id, signs its answers and
// stops work when its connection closes.
import http from "node:http";

export async function startBackend(setup, options) {
  const { host, service, zone, store, slots, workMilliseconds = () => 50, queueMaximum = 48 } = options;
  const identifier = options.identifier ?? `i-${service}-${host.replaceAll(".", "-")}`;
  const born = Date.now();
  let sequence = 0;
  let running = 0;
  const queue = [];
  const runs = [];

  function begin(task) {
    running += 1;
    const { request, response, id } = task;
    const body = `answer of ${identifier} to ${id}`;
    const run = { id, url: request.url, method: request.method, at: Date.now(), identifier, service, ended: undefined };
    runs.push(run);
    setup.record(`${identifier} runs ${id} ${request.method} ${request.url}`);
    const timer = setTimeout(() => end(true), workMilliseconds(request));
    response.once("close", () => end(false));
    let hasEnded = false;
    function end(isDone) {
      if (hasEnded) return;
      hasEnded = true;
      clearTimeout(timer);
      running -= 1;
      run.ended = Date.now();
      run.done = isDone;
      if (isDone) {
        response.writeHead(200, {
          "X-Attempt-Id": id,
          "X-Server-Seal": `seal-${id}`,
          "content-length": Buffer.byteLength(body),
        });
        response.end(body);
      }
      const next = queue.shift();
      if (next !== undefined) begin(next);
    }
  }

  const server = http.createServer((request, response) => {
    const id = request.headers["x-attempt-id"];
    request.on("error", () => undefined);
    request.resume();
    request.once("end", () => {
      if (request.url === "/healthz") {
        response.writeHead(200, { "X-Instance-Id": identifier, "content-length": 0 });
        return response.end();
      }
      const target = request.headers["x-target-instance"];
      if (target !== undefined && target !== identifier) {
        response.writeHead(421, { "X-Attempt-Id": id, "X-Instance-Id": identifier, "content-length": 0 });
        return response.end();
      }
      const task = { request, response, id };
      if (running < slots) return begin(task);
      if (queue.length >= queueMaximum) {
        response.writeHead(503, { "X-Attempt-Id": id, "X-Not-Executed": "1", "content-length": 0 });
        return response.end();
      }
      queue.push(task);
      response.once("close", () => {
        const index = queue.indexOf(task);
        if (index >= 0) queue.splice(index, 1);
      });
    });
  });
  server.keepAliveTimeout = 10_000;
  const port = await setup.listen(server, host);
  const put = (state = "ready") => {
    sequence += 1;
    store.put(`servers/${identifier}`, {
      addr: `${host}:${port}`,
      born,
      info: { service, version: "1.0.0", zone, slots },
      status: { state, seq: sequence, coldLeft: "0ms" },
    });
  };
  put();
  return { port, identifier, runs, put, server, getRunning: () => running };
}

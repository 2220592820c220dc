import { Agent, request as sendRequest } from "node:http";
import type { NetworkAddress } from "../../src/runtime/network_address.ts";

const okStatus = 200;
const millisecondsPerSecond = 1_000;
const tickMilliseconds = 10;

/**
 * Sends calls at a steady rate over kept connections and counts how many were
 * answered.
 */
export async function sendSteadyCalls(
  address: NetworkAddress,
  options: { readonly callsPerSecond: number; readonly seconds: number },
): Promise<{ readonly answered: number; readonly failed: number }> {
  const agent = new Agent({ keepAlive: true, scheduling: "lifo" });
  const count = options.callsPerSecond * options.seconds;
  const startedAt = performance.now();
  const calls: Promise<boolean>[] = [];
  await new Promise<void>((resolve) => {
    const timer = setInterval(() => {
      const elapsed = performance.now() - startedAt;
      const due = Math.min(
        count,
        Math.floor(elapsed * options.callsPerSecond / millisecondsPerSecond),
      );
      calls.push(
        ...Array.from(
          { length: due - calls.length },
          (_, index) => sendCall(address, agent, calls.length + index),
        ),
      );
      if (due < count) return;
      clearInterval(timer);
      resolve();
    }, tickMilliseconds);
  });
  const results = await Promise.all(calls);
  agent.destroy();
  const answered = results.filter(Boolean).length;
  return { answered, failed: results.length - answered };
}

function sendCall(
  address: NetworkAddress,
  agent: Agent,
  index: number,
): Promise<boolean> {
  return new Promise((resolve) => {
    const outgoing = sendRequest({
      agent,
      host: address.host,
      port: address.port,
      path: `/look/${index}?page=2`,
      headers: {
        host: "shop.example",
        "user-agent": "measure/1",
        accept: "application/json",
        "x-attempt-id": `call-${index}`,
        "x-deadline-ms": "4000",
      },
    }, (response) => {
      response.resume();
      response.once("end", () => resolve(response.statusCode === okStatus));
      response.once("error", () => resolve(false));
    });
    outgoing.on("error", () => resolve(false));
    outgoing.end();
  });
}

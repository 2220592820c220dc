import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { readBody } from "../common/read_body.ts";
import { writeJson } from "../common/write_json.ts";
import { createReadRate } from "./create_read_rate.ts";
import type { PlatformCounters } from "./platform_counters.ts";
import { platformFaultsSchema } from "./platform_faults_schema.ts";

interface PublishedValue {
  readonly revision: number;
  readonly value: string;
}

interface VmList {
  readonly since: number;
  readonly vms: unknown;
}

interface Watch {
  readonly after: number;
  readonly response: ServerResponse;
  readonly timer: NodeJS.Timeout;
}

const valueBytesMaximum = 1_048_576;

/**
 * Creates the platform's stand-in. Readers use `/values/configuration` and
 * `/vms`; a test publishes with `PUT /stand-in/value` (the text itself as
 * body), `PUT /stand-in/vms` and `PUT /stand-in/faults`, and reads
 * `GET /stand-in/counters`.
 */
export function createPlatformServer(
  options: { readonly readsPerSecondMaximum: number },
): Server {
  const values: PublishedValue[] = [];
  const vmLists: VmList[] = [];
  const watches = new Set<Watch>();
  const rate = createReadRate();
  const counters: PlatformCounters = {
    reads: 0,
    watches: 0,
    vmReads: 0,
    refusedReads: 0,
    peakReadsPerSecond: 0,
    waitingWatches: 0,
  };
  let faults = platformFaultsSchema.parse({});

  const getValue = (): PublishedValue | undefined => {
    if (faults.staleRevision !== null) {
      return values.find((value) => value.revision === faults.staleRevision);
    }
    const crossed = faults.crossed && counters.reads % 2 === 0;
    return crossed && values.length > 1 ? values.at(-2) : values.at(-1);
  };
  const answer = (response: ServerResponse, status: number, body: unknown) => {
    const write = () =>
      body === undefined
        ? response.writeHead(status).end()
        : writeJson(response, status, body);
    faults.delayMilliseconds > 0
      ? setTimeout(write, faults.delayMilliseconds)
      : write();
  };
  const endWatch = (watch: Watch) => {
    clearTimeout(watch.timer);
    watches.delete(watch);
  };
  const wakeWatches = () =>
    [...watches].forEach((watch) => {
      const value = getValue();
      if (value !== undefined && value.revision !== watch.after) {
        endWatch(watch);
        answer(watch.response, 200, value);
      }
    });
  const startWatch = (
    response: ServerResponse,
    after: number,
    until: number,
  ) => {
    counters.watches += 1;
    const watch: Watch = {
      after,
      response,
      timer: setTimeout(() => {
        watches.delete(watch);
        answer(response, 204, undefined);
      }, Math.max(0, until - Date.now())),
    };
    watches.add(watch);
    response.once("close", () => endWatch(watch));
  };
  const readConfiguration = (url: URL, response: ServerResponse) => {
    const value = getValue();
    const after = url.searchParams.get("after");
    if (value !== undefined && Number(after ?? Number.NaN) !== value.revision) {
      answer(response, 200, value);
      return;
    }
    if (after === null) {
      answer(response, 404, { error: "no value was published" });
      return;
    }
    startWatch(response, Number(after), Number(url.searchParams.get("until")));
  };
  const readVms = (response: ServerResponse) => {
    counters.vmReads += 1;
    const latest = Date.now() - faults.vmListLagMilliseconds;
    const [oldest] = vmLists;
    const list = vmLists.findLast((entry) => entry.since <= latest) ?? oldest;
    answer(response, 200, { vms: list?.vms ?? [] });
  };
  const read = (
    url: URL,
    request: IncomingMessage,
    response: ServerResponse,
  ) => {
    counters.reads += 1;
    const readsOfSecond = rate.count(Date.now());
    if (faults.outage) {
      request.socket.destroy();
      return;
    }
    if (readsOfSecond > options.readsPerSecondMaximum) {
      counters.refusedReads += 1;
      answer(response, 503, { error: "too many reads" });
      return;
    }
    if (url.pathname === "/values/configuration") {
      readConfiguration(url, response);
      return;
    }
    if (url.pathname === "/vms") {
      readVms(response);
      return;
    }
    answer(response, 404, { error: "no such value" });
  };
  const publish = (text: string, response: ServerResponse) => {
    if (Buffer.byteLength(text) > valueBytesMaximum) {
      writeJson(response, 413, { error: "the value is too large" });
      return;
    }
    const revision = values.length + 1;
    values.push({ revision, value: text });
    const acceptedAt = Date.now();
    wakeWatches();
    writeJson(response, 200, { revision, acceptedAt });
  };
  const setFaults = (text: string, response: ServerResponse) => {
    faults = platformFaultsSchema.parse(JSON.parse(text));
    if (faults.outage) {
      [...watches].forEach((watch) => {
        endWatch(watch);
        watch.response.destroy();
      });
    }
    wakeWatches();
    writeJson(response, 200, faults);
  };
  const control = async (
    name: string,
    request: IncomingMessage,
    response: ServerResponse,
  ) => {
    const body = await readBody(request);
    if (name === "GET /stand-in/counters") {
      writeJson(response, 200, {
        ...counters,
        peakReadsPerSecond: rate.getPeak(),
        waitingWatches: watches.size,
      });
    } else if (name === "PUT /stand-in/value") {
      publish(body, response);
    } else if (name === "PUT /stand-in/vms") {
      vmLists.push({ since: Date.now(), vms: JSON.parse(body).vms });
      writeJson(response, 200, {});
    } else if (name === "PUT /stand-in/faults") {
      setFaults(body, response);
    } else {
      writeJson(response, 404, { error: "no such control" });
    }
  };
  return createServer((request, response) => {
    const url = new URL(request.url ?? "/", "http://platform");
    if (!url.pathname.startsWith("/stand-in/")) {
      read(url, request, response);
      return;
    }
    control(`${request.method} ${url.pathname}`, request, response).catch(
      (error: Error) => writeJson(response, 400, { error: error.message }),
    );
  });
}

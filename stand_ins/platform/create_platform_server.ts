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
  /** In milliseconds since the Unix epoch. */
  readonly publishedAt: number;
  readonly vms: unknown;
}

/** A long poll that waits for a revision other than `after`. */
interface Watch {
  readonly after: number;
  readonly response: ServerResponse;
  readonly timer: NodeJS.Timeout;
}

const valueBytesMaximum = 1_048_576;

/**
 * Creates a platform stand-in that does not listen yet. Readers use
 * `/values/configuration` and `/vms`. Tests publish with `PUT /stand-in/value`
 * (the body is the text itself) and `PUT /stand-in/vms`, inject faults with
 * `PUT /stand-in/faults`, and read `GET /stand-in/counters`.
 */
export function createPlatformServer(
  options: { readonly readsPerSecondMaximum: number },
): Server {
  const values: PublishedValue[] = [];
  const vmLists: VmList[] = [];
  const watches = new Set<Watch>();
  const readRate = createReadRate();
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
    const returnsPrevious = faults.crossed && counters.reads % 2 === 0;
    return returnsPrevious && values.length > 1 ? values.at(-2) : values.at(-1);
  };
  const respond = (response: ServerResponse, status: number, body: unknown) => {
    const sendResponse = () =>
      body === undefined
        ? response.writeHead(status).end()
        : writeJson(response, status, body);
    faults.delayMilliseconds > 0
      ? setTimeout(sendResponse, faults.delayMilliseconds)
      : sendResponse();
  };
  const endWatch = (watch: Watch) => {
    clearTimeout(watch.timer);
    watches.delete(watch);
  };
  const notifyWatches = () =>
    [...watches].forEach((watch) => {
      const value = getValue();
      if (value !== undefined && value.revision !== watch.after) {
        endWatch(watch);
        respond(watch.response, 200, value);
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
        respond(response, 204, undefined);
      }, Math.max(0, until - Date.now())),
    };
    watches.add(watch);
    response.once("close", () => endWatch(watch));
  };
  const handleConfigurationRead = (url: URL, response: ServerResponse) => {
    const value = getValue();
    const after = url.searchParams.get("after");
    if (value !== undefined && Number(after ?? Number.NaN) !== value.revision) {
      respond(response, 200, value);
      return;
    }
    if (after === null) {
      respond(response, 404, { error: "no value was published" });
      return;
    }
    startWatch(response, Number(after), Number(url.searchParams.get("until")));
  };
  const handleVmsRead = (response: ServerResponse) => {
    counters.vmReads += 1;
    const visibleUntil = Date.now() - faults.vmListLagMilliseconds;
    const [oldest] = vmLists;
    const list =
      vmLists.findLast((entry) => entry.publishedAt <= visibleUntil) ?? oldest;
    respond(response, 200, { vms: list?.vms ?? [] });
  };
  const handleRead = (
    url: URL,
    request: IncomingMessage,
    response: ServerResponse,
  ) => {
    counters.reads += 1;
    const readsInSecond = readRate.count(Date.now());
    if (faults.outage) {
      request.socket.destroy();
      return;
    }
    if (readsInSecond > options.readsPerSecondMaximum) {
      counters.refusedReads += 1;
      respond(response, 503, { error: "too many reads" });
      return;
    }
    if (url.pathname === "/values/configuration") {
      handleConfigurationRead(url, response);
      return;
    }
    if (url.pathname === "/vms") {
      handleVmsRead(response);
      return;
    }
    respond(response, 404, { error: "no such value" });
  };
  const publish = (text: string, response: ServerResponse) => {
    if (Buffer.byteLength(text) > valueBytesMaximum) {
      writeJson(response, 413, { error: "the value is too large" });
      return;
    }
    const revision = values.length + 1;
    values.push({ revision, value: text });
    const acceptedAt = Date.now();
    notifyWatches();
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
    notifyWatches();
    writeJson(response, 200, faults);
  };
  const handleControlRequest = async (
    name: string,
    request: IncomingMessage,
    response: ServerResponse,
  ) => {
    const body = await readBody(request);
    if (name === "GET /stand-in/counters") {
      writeJson(response, 200, {
        ...counters,
        peakReadsPerSecond: readRate.getPeak(),
        waitingWatches: watches.size,
      });
    } else if (name === "PUT /stand-in/value") {
      publish(body, response);
    } else if (name === "PUT /stand-in/vms") {
      vmLists.push({ publishedAt: Date.now(), vms: JSON.parse(body).vms });
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
      handleRead(url, request, response);
      return;
    }
    handleControlRequest(`${request.method} ${url.pathname}`, request, response)
      .catch(
        (error: Error) => writeJson(response, 400, { error: error.message }),
      );
  });
}

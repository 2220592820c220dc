import { once } from "node:events";
import { createServer } from "node:http";
import type { NetworkAddress } from "../../runtime/network_address.ts";
import type { Incarnation } from "./incarnation.ts";
import { MeshHeader } from "./mesh_header.ts";
import { sendCompleteAnswer } from "./send_complete_answer.ts";

const misdirectedStatus = 421;
const fullStatus = 503;
const fullHeaders = {
  [MeshHeader.NotRun]: "1",
  [MeshHeader.Limit]: "0",
  [MeshHeader.Leaving]: "1",
};

/**
 * Starts a backend server at an address that another one has used before. It
 * rejects calls that name another incarnation, and runs all others.
 */
export async function startIncarnation(
  { host, port }: NetworkAddress,
  options: {
    readonly identifier: string;
    /** Whether it names itself where it rejects a call. */
    readonly namesItselfInRejections?: boolean;
    /** Whether it names itself in its answers to health probes. */
    readonly namesItselfInProbes?: boolean;
    /** Whether it rejects calls that name another one as a full backend server does, with a limit and a departure. */
    readonly rejectsAsFull?: boolean;
    /** Whether it answers health probes; they wait for ever otherwise. */
    readonly answersProbes?: boolean;
    /** Headers that it adds to its answers to health probes. */
    readonly healthHeaders?: Readonly<Record<string, string>>;
  },
): Promise<Incarnation> {
  const { identifier, namesItselfInRejections = true } = options;
  const nameHeaders = { [MeshHeader.Identifier]: identifier };
  const server = createServer((request, response) => {
    request.resume();
    const call = request.headers[MeshHeader.Call]?.toString();
    // Only a health probe names no call.
    if (call === undefined) {
      if (options.answersProbes === false) return;
      const headers = options.namesItselfInProbes === false ? {} : nameHeaders;
      response.writeHead(200, { ...headers, ...options.healthHeaders }).end();
      return;
    }
    const target = request.headers[MeshHeader.Target];
    if (target !== undefined && target !== identifier) {
      incarnation.rejected.push(call);
      const headers = namesItselfInRejections ? nameHeaders : {};
      if (options.rejectsAsFull === true) {
        response.writeHead(fullStatus, { ...headers, ...fullHeaders }).end();
        return;
      }
      response.writeHead(misdirectedStatus, headers).end();
      return;
    }
    incarnation.runs.push(call);
    incarnation.firstRunAt ??= Date.now();
    sendCompleteAnswer(request, response);
  });
  server.listen(port, host);
  await once(server, "listening");
  const incarnation: Incarnation = {
    runs: [],
    rejected: [],
    startedAt: Date.now(),
    firstRunAt: undefined,
    close: async () => {
      const closed = once(server, "close");
      server.close();
      server.closeAllConnections();
      await closed;
    },
  };
  return incarnation;
}

import type { CallDialect } from "../../mesh/call_dialect.ts";
import { MeshHeader } from "./mesh_header.ts";

const misdirectedRequestStatus = 421;

const identityHeaders: ReadonlySet<string> = new Set([
  MeshHeader.Key,
  MeshHeader.Organisation,
]);

/** The call dialect of tests, with the headers of `MeshHeader`. */
export const testDialect: CallDialect = {
  readCallerHead: ({ headers }) => {
    const remaining = headers[MeshHeader.Remaining];
    return {
      callIdentifier: headers[MeshHeader.Call]?.toString(),
      remainingMilliseconds: remaining === undefined
        ? undefined
        : Number(remaining),
      key: headers[MeshHeader.Key]?.toString(),
    };
  },
  removeCallerIdentity: (headers) =>
    headers.filter((_, index) =>
      !identityHeaders.has(headers[index - index % 2]!.toLowerCase())
    ),
  addBackendRequestHeaders: (headers, context) => [
    ...headers,
    ...(context.organisation === undefined
      ? []
      : [MeshHeader.Organisation, context.organisation]),
    MeshHeader.CallerService,
    context.callerService,
    ...(context.identifier === undefined
      ? []
      : [MeshHeader.Target, context.identifier]),
  ],
  readBackendAnswerHead: ({ headers, statusCode }) => {
    const cold = headers[MeshHeader.Cold];
    const limit = Number(headers[MeshHeader.Limit]);
    return {
      callIdentifier: headers[MeshHeader.Call]?.toString(),
      notRun: headers[MeshHeader.NotRun] !== undefined,
      signed: headers[MeshHeader.Signature] !== undefined,
      encoded: headers["content-encoding"] !== undefined,
      misdirected: statusCode === misdirectedRequestStatus,
      identifier: headers[MeshHeader.Identifier]?.toString(),
      coldMilliseconds: cold === undefined ? undefined : Number(cold),
      callsPerSecondLimit: limit >= 0 ? limit : undefined,
      leaving: headers[MeshHeader.Leaving] !== undefined,
    };
  },
};

import type { IncomingMessage } from "node:http";

const bodylessStatuses: readonly (number | undefined)[] = [204, 304];

/**
 * Returns the length that the head of an answer states for its body; undefined
 * if it states none. An answer without a body may state the length that another
 * one would have had.
 */
export function getStatedBodyBytes(
  answer: Pick<IncomingMessage, "headers" | "statusCode">,
  method: string,
): number | undefined {
  const { "content-length": length, "transfer-encoding": encoding } =
    answer.headers;
  if (length === undefined || encoding !== undefined) return undefined;
  const isBodyless = method === "HEAD" ||
    bodylessStatuses.includes(answer.statusCode);
  return isBodyless ? undefined : Number(length);
}

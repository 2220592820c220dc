import { isHeaderList } from "./is_header_list.ts";
import type { RequestHead } from "./request_head.ts";

/** Whether decoded JSON is the head of an offer on an offer connection. */
export function isRequestHead(input: unknown): input is RequestHead {
  if (typeof input !== "object" || input === null) return false;
  const head = input as Partial<Record<keyof RequestHead, unknown>>;
  return typeof head.method === "string" && typeof head.url === "string" &&
    isHeaderList(head.headers);
}

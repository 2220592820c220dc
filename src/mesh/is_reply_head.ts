import { isFinalStatus } from "../calls/is_final_status.ts";
import { isHeaderList } from "./is_header_list.ts";
import { isReplyMessage } from "./is_reply_message.ts";
import type { ReplyHead } from "./reply_head.ts";

/** Names and values of headers (RFC 9110, sections 5.1 and 5.5). */
const namePattern = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;
const valuePattern = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Whether decoded JSON is the head of a reply on an offer connection. */
export function isReplyHead(input: unknown): input is ReplyHead {
  if (typeof input !== "object" || input === null) return false;
  const head = input as Partial<Record<keyof ReplyHead, unknown>>;
  return isReplyMessage(head.reply) && typeof head.status === "number" &&
    Number.isInteger(head.status) && isFinalStatus(head.status) &&
    isHeaderList(head.headers) && head.headers.every(isNameOrValue);
}

/** Names and values alternate. */
function isNameOrValue(text: string, index: number): boolean {
  return (index % 2 === 0 ? namePattern : valuePattern).test(text);
}

import type * as z from "zod";
import type { StoredAnswer } from "./stored_answer.ts";
import type { storedAnswerSchema } from "./stored_answer_schema.ts";

/** Encodes a stored answer for control messages, with the body in Base64. */
export function encodeStoredAnswer(
  answer: StoredAnswer,
): z.infer<typeof storedAnswerSchema> {
  const { status, headers, declaredLength } = answer.head;
  return {
    status,
    headers: [...headers],
    ...(declaredLength === undefined ? {} : { declaredLength }),
    body: Buffer.from(answer.body).toString("base64"),
  };
}

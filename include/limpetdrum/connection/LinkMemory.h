#ifndef LIMPETDRUM_CONNECTION_LINKMEMORY_H
#define LIMPETDRUM_CONNECTION_LINKMEMORY_H

#include "limpetdrum/process/AnswerMemory.h"

namespace limpetdrum {

/// \brief Memory for the messages that a node receives from others. Null: no
///   limit.
struct LinkMemory {
  MemoryBudget *Requests = nullptr; ///< bodies of attempts
  AnswerMemory *Answers = nullptr;  ///< bodies of replies
  AnswerMemory *Frames = nullptr;   ///< messages that are not complete yet
};

} // namespace limpetdrum

#endif
